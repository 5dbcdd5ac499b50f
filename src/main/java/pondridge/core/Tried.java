package pondridge.core;

/**
 * What was tried for a request that was not served, as its final answer leaves the engine.
 *
 * @param sent attempts handed to the transport
 * @param reached attempts to which an upstream gave an answer of any kind
 * @param mayHaveRun one of them may have run, or may yet: false only where each is proven not to have
 */
public record Tried(int sent, int reached, boolean mayHaveRun) {}
