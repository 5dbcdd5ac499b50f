/** HTTP/1.1: the front end for clients, and the transport to upstreams. */
package pondridge.http1;
