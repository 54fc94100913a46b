/**
 * What is known of the platform's configuration, backend servers and entries, and the
 * decisions that follow from it. No sockets; time is passed in.
 */
package org.wigeontally.fleet;
