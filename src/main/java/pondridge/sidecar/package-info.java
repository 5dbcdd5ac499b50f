/** The sidecar on real sockets: one event loop thread carries the module's decisions out. */
package pondridge.sidecar;
