/**
 * Tests of how the content of large records is passed on.
 */
package org.wigeontally.contents;
