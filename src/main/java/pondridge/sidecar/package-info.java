/** The sidecar process: one event loop thread carries out the balancer's decisions on real sockets. */
package pondridge.sidecar;
