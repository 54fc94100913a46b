/**
 * Stand-ins for the entries and agents that one entry process communicates with.
 */
package org.wigeontally.emulator.entries;
