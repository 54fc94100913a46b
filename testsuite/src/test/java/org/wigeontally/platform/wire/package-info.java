/**
 * Tests of the platform's formats and calls.
 */
package org.wigeontally.platform.wire;
