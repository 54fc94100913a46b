/**
 * Decides where a request is sent and what its sending costs: the load of backend servers
 * as an entry knows it, and the placement of requests on them. No sockets; the time is
 * passed in.
 */
package org.wigeontally.placement;
