/**
 * The serving lease: whether a process may rely on the configuration that it holds.
 */
package org.wigeontally.confirmation;
