/** Unary gRPC calls over HTTP/2: the front end for clients and the codec for servers. */
package pondridge.grpc;
