/**
 * Tests of requests that must run at most once.
 */
package org.wigeontally.claims;
