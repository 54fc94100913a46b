/**
 * The emulator of the systems that wigeontally serves and uses: its command line.
 */
package org.wigeontally.emulator;
