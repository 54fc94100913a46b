/**
 * Numbered error types, collection of findings, and the exceptions that carry them.
 */
package org.wigeontally.errors;
