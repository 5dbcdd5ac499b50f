package pondridge.core;

/**
 * Summary of the attempts of a request that was not served, at the time of its final response.
 *
 * @param attemptsSent attempts handed to the transport
 * @param responsesReceived attempts to which an upstream gave a response of any kind
 * @param mayHaveRun whether an attempt may have run or may still run; false only if each is proven not to have
 */
public record AttemptSummary(int attemptsSent, int responsesReceived, boolean mayHaveRun) {}
