/**
 * Many control nodes in one process, for measurements of control traffic.
 */
package org.wigeontally.emulator.control;
