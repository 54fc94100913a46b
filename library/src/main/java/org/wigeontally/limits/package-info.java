/**
 * Rates of requests that backend servers accept from all entries together, and the
 * permits by which the entries keep to them.
 */
package org.wigeontally.limits;
