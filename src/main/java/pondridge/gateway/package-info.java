/**
 * The gateway between sites, in work: so far what decides, without I/O. {@link pondridge.gateway.Router} says
 * where a request goes next; see docs/gateway/design.md.
 */
package pondridge.gateway;
