/**
 * Reads settings from YAML into protobuf messages of the schema, validates them, and
 * reports each finding with its location.
 */
package org.wigeontally.settings;
