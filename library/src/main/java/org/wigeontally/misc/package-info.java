/**
 * Shared utilities: clocks, a helper for closing resources and a hash for rendezvous
 * hashing.
 */
package org.wigeontally.misc;
