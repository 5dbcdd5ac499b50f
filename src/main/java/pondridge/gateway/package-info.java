/**
 * The gateway between sites: links to other sites' gateways, and the decision where a request goes.
 * {@link pondridge.gateway.Router} makes that decision without I/O; see docs/gateway/design.md.
 */
package pondridge.gateway;
