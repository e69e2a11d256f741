/**
 * The platform's services over HTTP with JSON.
 */
package org.almondmount.services.impl;
