/**
 * Sidecar process of one engine. It reports the engine's state to the entries, fetches
 * weights from the origin and from other agents, and orders the engine to load them.
 */
package org.wigeontally.sidecar;
