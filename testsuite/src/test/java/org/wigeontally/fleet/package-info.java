/**
 * Tests of the decisions of entries and agents on the platform.
 */
package org.wigeontally.fleet;
