/**
 * The entry's choice of a backend server for a request.
 */
package org.wigeontally.routing;
