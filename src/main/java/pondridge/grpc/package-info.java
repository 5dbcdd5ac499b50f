/** gRPC over HTTP/2: its front, and its words on the way to servers. */
package pondridge.grpc;
