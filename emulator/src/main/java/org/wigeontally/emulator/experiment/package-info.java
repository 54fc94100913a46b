/**
 * Experiments: deployments of real processes on this machine, load on them, and checks of
 * every answer.
 */
package org.wigeontally.emulator.experiment;
