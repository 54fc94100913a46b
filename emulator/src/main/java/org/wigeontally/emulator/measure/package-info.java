/**
 * Measurements: each prints its figures and hands them over as JSON or as a plot.
 */
package org.wigeontally.emulator.measure;
