/**
 * Stand-ins for backend servers: model engines and plain services.
 */
package org.wigeontally.emulator.backend;
