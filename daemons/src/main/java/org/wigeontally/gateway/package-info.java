/**
 * The process on an entry host of the platform: relays callers' requests to backend
 * servers, serves the directory, and exchanges state with the other entries.
 */
package org.wigeontally.gateway;
