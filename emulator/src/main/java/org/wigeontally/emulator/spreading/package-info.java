/**
 * Replay in virtual time of how weights spread over limited links.
 */
package org.wigeontally.emulator.spreading;
