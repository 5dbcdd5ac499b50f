/** HTTP/1.1: the frontend for clients, and the transport to upstreams. */
package pondridge.http1;
