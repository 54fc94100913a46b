/**
 * Reading of YAML documents into messages of the schema, with the place of each finding.
 */
package org.wigeontally.settings;
