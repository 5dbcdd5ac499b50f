package pondridge.core;

import io.netty.handler.codec.http.HttpHeaders;

/** A complete response with status 200; {@code headers} are those that are forwarded to the client. */
public record UpstreamResponse(HttpHeaders headers, byte[] body) {}
