/**
 * Addresses of entries that callers are told.
 */
package org.wigeontally.addresses;
