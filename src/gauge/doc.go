// Package gauge counts requests for service-level objectives by route and team, and computes how fast the error budgets
// burn.
//
// Windows and burn-rate thresholds follow B. Beyer et al.: "The Site Reliability Workbook" (2018), chapter 5, multiwindow,
// multi-burn-rate alerts.
package gauge
