/** HTTP/1.1: the front that clients talk to, and the way to upstreams. */
package pondridge.http1;
