/**
 * Engines that load announced versions in virtual time.
 */
package org.wigeontally.emulator.loads;
