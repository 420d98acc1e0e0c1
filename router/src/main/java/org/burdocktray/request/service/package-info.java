/**
 * Support for calls to plain services.
 */
package org.burdocktray.request.service;
