package pondridge.core;

import io.netty.handler.codec.http.HttpHeaders;

/** What an upstream answered with 200, whole; the headers are those that go through to the client. */
public record Answer(HttpHeaders headers, byte[] body) {}
