/** Policy of a client-side load balancer; {@link pondridge.Balancer} is its interface. */
package pondridge;
