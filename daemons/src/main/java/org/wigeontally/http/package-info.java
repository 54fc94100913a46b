/**
 * What both daemons say over HTTP: header names, outcomes and refusals.
 */
package org.wigeontally.http;
