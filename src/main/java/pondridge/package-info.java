/** Decisions of a client-side load balancer: {@link pondridge.Balancer} is the interface. */
package pondridge;
