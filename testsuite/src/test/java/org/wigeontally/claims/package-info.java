/**
 * Tests of the at-most-once execution of requests.
 */
package org.wigeontally.claims;
