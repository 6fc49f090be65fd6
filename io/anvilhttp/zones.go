package anvilhttp

import (
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

func (s *server) listZones(c echo.Context) error {
	zones, err := s.api.Zones(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, zones)
}

func (s *server) evacuateZone(c echo.Context) error { return s.changeZone(c, false) }

func (s *server) returnZone(c echo.Context) error { return s.changeZone(c, true) }

// changeZone begins the evacuation of the zone that the path names, or ends it.
func (s *server) changeZone(c echo.Context, end bool) error {
	region, err := url.PathUnescape(c.Param("region"))
	if err != nil {
		return writeError(c, http.StatusBadRequest, "bad_request", "the region can't be decoded: "+err.Error())
	}
	zone, err := url.PathUnescape(c.Param("zone"))
	if err != nil {
		return writeError(c, http.StatusBadRequest, "bad_request", "the zone can't be decoded: "+err.Error())
	}
	result, everywhere, err := s.api.EvacuateZone(c.Request().Context(), anvilstate.EvacuateZone{
		Region: anvilid.RegionName(region), Zone: anvilid.ZoneName(zone), End: end,
	})
	switch {
	case err != nil:
		return err
	case result.Code != "":
		return writeRefusal(c, result)
	}
	return c.JSON(http.StatusOK, struct {
		Evacuated  bool `json:"evacuated"`
		Everywhere bool `json:"everywhere"`
	}{!end, everywhere})
}
