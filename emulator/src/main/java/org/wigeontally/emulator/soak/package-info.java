/**
 * A randomised soak of the platform's entries: real processes under signals, restarts and
 * broken connections, before stand-ins of the store and of backend servers.
 */
package org.wigeontally.emulator.soak;
