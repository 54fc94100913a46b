/**
 * The enumeration of numbered errors and the collector of findings.
 */
package org.wigeontally.errors;
