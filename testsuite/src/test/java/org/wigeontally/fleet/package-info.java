/** Tests of the fleet state and of the placement of requests. */
package org.wigeontally.fleet;
