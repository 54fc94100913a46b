/**
 * The entry process, which accepts requests of callers and operators and forwards
 * callers' requests to agents.
 */
package org.wigeontally.entry;
