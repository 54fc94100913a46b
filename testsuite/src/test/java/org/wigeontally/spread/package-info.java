/**
 * Tests of weight nodes over HTTP.
 */
package org.wigeontally.spread;
