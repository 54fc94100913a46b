/**
 * Deadlines, retries and hedging at the entry.
 */
package org.wigeontally.retries;
