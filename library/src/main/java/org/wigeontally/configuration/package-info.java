/**
 * Operators' configuration: how changes in the log are judged and what is in force.
 */
package org.wigeontally.configuration;
