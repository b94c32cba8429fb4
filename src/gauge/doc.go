// Package gauge keeps the service-level counts of routes and teams, and reports how fast their error budgets burn.
//
// Windows and factors follow B. Beyer et al.: "The Site Reliability Workbook" (2018), chapter 5, multiwindow,
// multi-burn-rate alerts.
package gauge
