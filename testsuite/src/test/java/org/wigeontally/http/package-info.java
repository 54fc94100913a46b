/**
 * Tests of the servers of the project's own interface.
 */
package org.wigeontally.http;
