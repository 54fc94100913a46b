/**
 * Tests of the decoders for the platform's record formats.
 */
package org.wigeontally.platform.wire;
