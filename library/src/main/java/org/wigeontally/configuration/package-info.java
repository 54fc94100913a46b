/**
 * The configuration that operators set: validation of changes in the log, and the
 * configuration in force.
 */
package org.wigeontally.configuration;
