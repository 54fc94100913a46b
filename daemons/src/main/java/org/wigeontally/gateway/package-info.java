/**
 * The process on an entry host of the platform: callers' requests, the directory, and
 * what entries tell each other.
 */
package org.wigeontally.gateway;
