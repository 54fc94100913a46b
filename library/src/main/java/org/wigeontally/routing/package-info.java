/**
 * Load balancing at the entry: chooses a backend server for each request.
 */
package org.wigeontally.routing;
