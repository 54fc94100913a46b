/**
 * Detection of requests that bring down the backend servers that run them.
 */
package org.wigeontally.harmful;
