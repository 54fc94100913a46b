/**
 * The process beside an engine of the platform: it reports the engine's state to the
 * entries, collects weights together with the other agents and orders the engine to load
 * them.
 */
package org.wigeontally.sidecar;
