/**
 * HTTP support shared by the entry and the agent: the server, draining, header names,
 * outcomes and refusals.
 */
package org.wigeontally.http;
