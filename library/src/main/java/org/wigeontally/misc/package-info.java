/**
 * Shared utilities: clocks and a helper for closing resources.
 */
package org.wigeontally.misc;
